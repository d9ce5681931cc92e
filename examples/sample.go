// Package sample embeds the example configuration documents.
//
// # Usage
//
//	doc, err := config.ParseDocument("demo.toml", sample.Demo)
package sample

import _ "embed"

// Demo is the configuration document of "sesamed demo".
//
//go:embed demo.toml
var Demo []byte

// Borough is the example document of the deployment "borough".
//
//go:embed borough.toml
var Borough []byte

// EnxameVivo is the example document of the deployment "enxame-vivo".
//
//go:embed enxame-vivo.toml
var EnxameVivo []byte
