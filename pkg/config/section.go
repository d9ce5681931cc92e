package config

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/zeebo/blake3"
)

const (
	// sectionFormat is increased when older hosts cannot decode the sections.
	sectionFormat = 1
	// fanout gives 1,024 account sections: about 10 accounts each at the design
	// size of 10,000.
	fanout = 32
	// MaxSectionBytes keeps a section within a 64 KB message between hosts.
	MaxSectionBytes = 60 << 10
)

// Sections is a configuration document as a tree of content-addressed sections.
// The root lists one base section, which holds everything but the accounts, and
// up to 32 groups; a group lists up to 32 account sections. The hash of an
// account's name determines its section, so a change of one account replaces
// three sections: the account section, its group and the root.
type Sections struct {
	Root Hash
	// Objects holds the encoded sections by hash.
	Objects map[Hash][]byte
}

// SectionError reports that a section is missing, damaged or not valid in its tree.
type SectionError struct {
	Hash   Hash
	Reason string
}

// Error names the section and the remedy.
func (e *SectionError) Error() string {
	return fmt.Sprintf("section %s %s; fetch it from another host or apply the document again", e.Hash, e.Reason)
}

// SizeError reports that a section of the document is too large to transfer.
type SizeError struct {
	Section string
	Bytes   int
}

// Error names the section and the remedy.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s take %d bytes, the limit is %d; shorten their lists of names and keys",
		e.Section, e.Bytes, MaxSectionBytes)
}

// rootSection lists the hashes of the base section and of the groups. The zero hash
// stands for a group without accounts.
type rootSection struct {
	Format uint   `cbor:"f"`
	Base   Hash   `cbor:"b"`
	Groups []Hash `cbor:"g"`
}

// accountSection holds accounts in order of name. Each name that accounts refer
// to is stored once, in Names, and accounts hold indexes into Names. This keeps a
// section of 20 accounts with many models near 1.5 KB.
type accountSection struct {
	Names    []string        `cbor:"n"`
	Accounts []packedAccount `cbor:"a"`
}

// packedAccount is an Account that is encoded as a CBOR array. Keys holds the bytes
// of the key hashes; the other lists hold indexes into accountSection.Names.
type packedAccount struct {
	_                      struct{} `cbor:",toarray"`
	Name                   string
	Keys                   [][]byte
	Models, Services       []int
	Rate                   float64
	Concurrency, Priority  int
	Regions, Zones, Stores []int
}

var (
	sectionEncMode = mustEncMode(sectionEncOptions().EncMode())
	// Unknown fields are an error: a host that ignored a restriction added by a
	// newer version would violate it.
	sectionDecMode = mustDecMode(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
	}.DecMode())
)

func sectionEncOptions() cbor.EncOptions {
	options := cbor.CoreDetEncOptions()
	// Documents that differ only in nil and empty lists are equal and must have the
	// same hash.
	options.NilContainers = cbor.NilContainerAsEmpty
	return options
}

func mustEncMode(m cbor.EncMode, err error) cbor.EncMode {
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode(m cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err)
	}
	return m
}

// NewSections returns a tree without sections, of which only the root's hash is
// known.
func NewSections(root Hash) Sections {
	return Sections{Root: root, Objects: map[Hash][]byte{}}
}

// Split encodes a document as sections. The order of the accounts is lost.
func Split(d *Document) (Sections, error) {
	s := NewSections(Hash{})
	base := *d
	base.Accounts = nil
	root := rootSection{Format: sectionFormat, Groups: make([]Hash, fanout)}
	var err error
	if root.Base, err = s.encode("the regions, links, models and services", base); err != nil {
		return Sections{}, err
	}
	var buckets [fanout * fanout][]*Account
	for i := range d.Accounts {
		bucket := bucketOf(d.Accounts[i].Name)
		buckets[bucket] = append(buckets[bucket], &d.Accounts[i])
	}
	for g := range root.Groups {
		group, nonEmpty := make([]Hash, fanout), false
		for i := range group {
			accounts := buckets[g*fanout+i]
			if len(accounts) == 0 {
				continue
			}
			nonEmpty = true
			slices.SortFunc(accounts, func(a, b *Account) int { return cmp.Compare(a.Name, b.Name) })
			description := fmt.Sprintf("%d accounts from %q on", len(accounts), accounts[0].Name)
			if group[i], err = s.encode(description, packAccounts(accounts)); err != nil {
				return Sections{}, err
			}
		}
		if nonEmpty {
			if root.Groups[g], err = s.encode("section hashes", group); err != nil {
				return Sections{}, err
			}
		}
	}
	s.Root, err = s.encode("group hashes", root)
	return s, err
}

// Join decodes a complete tree and checks the document. The accounts are in order
// of name.
func Join(s Sections) (*Document, error) {
	d := &Document{}
	err := s.walk(func(h Hash, data []byte, level int, index int) error {
		switch level {
		case levelBase:
			return decodeSection(h, data, d)
		case levelAccounts:
			return unpackAccounts(h, data, index, d)
		}
		return nil
	}, func(h Hash) error { return &SectionError{Hash: h, Reason: "is missing"} })
	if err != nil {
		return nil, errors.Trace(err)
	}
	slices.SortFunc(d.Accounts, func(a, b Account) int { return cmp.Compare(a.Name, b.Name) })
	if faults := d.Check(); len(faults) > 0 {
		return nil, &FaultsError{File: "revision with root " + s.Root.String(), Faults: faults}
	}
	return d, nil
}

// Add verifies the hash of a section and adds the section.
func (s Sections) Add(h Hash, data []byte) error {
	if len(data) > MaxSectionBytes || HashOf(data) != h {
		return &SectionError{Hash: h, Reason: "does not match its hash"}
	}
	s.Objects[h] = data
	return nil
}

// Missing returns the hashes of the sections that the tree refers to but does not
// hold. Once these sections are added, they may refer to further missing ones.
func (s Sections) Missing() ([]Hash, error) {
	var missing []Hash
	err := s.walk(func(Hash, []byte, int, int) error { return nil }, func(h Hash) error {
		missing = append(missing, h)
		return nil
	})
	return missing, errors.Trace(err)
}

// Levels returns the hashes of the sections that the tree holds, by level, from
// the account sections up to the root. Storing them in this order never stores a
// section before the sections that it lists.
func (s Sections) Levels() [][]Hash {
	levels := make([][]Hash, levelAccounts+1)
	s.visit(func(h Hash, level, _ int) { levels[level] = append(levels[level], h) })
	slices.Reverse(levels)
	return levels
}

// Subtree returns the hashes of a section and of all sections below it.
func (s Sections) Subtree(top Hash) []Hash {
	subtree := []Hash{}
	group := -1
	s.visit(func(h Hash, level, index int) {
		if h == top && level == levelGroup {
			group = index
		}
		if h == top || top == s.Root || level == levelAccounts && index/fanout == group {
			subtree = append(subtree, h)
		}
	})
	return subtree
}

// visit calls f for each section that the tree holds.
func (s Sections) visit(f func(h Hash, level, index int)) {
	_ = s.walk(func(h Hash, _ []byte, level, index int) error {
		f(h, level, index)
		return nil
	}, func(Hash) error { return nil })
}

// Reachable returns the tree without the sections that it does not refer to.
func (s Sections) Reachable() Sections {
	reachable := NewSections(s.Root)
	_ = s.walk(func(h Hash, data []byte, _, _ int) error {
		reachable.Objects[h] = data
		return nil
	}, func(Hash) error { return nil })
	return reachable
}

// encode adds the section that encodes v and returns its hash. The description names
// the content in errors.
func (s Sections) encode(description string, v any) (Hash, error) {
	data, err := sectionEncMode.Marshal(v)
	if err != nil {
		return Hash{}, errors.Annotatef(err, "encode %s", description)
	}
	if len(data) > MaxSectionBytes {
		return Hash{}, &SizeError{Section: description, Bytes: len(data)}
	}
	h := HashOf(data)
	s.Objects[h] = data
	return h, nil
}

// Levels of the tree.
const (
	levelRoot = iota
	levelBase
	levelGroup
	levelAccounts
)

// walk calls visit for each section that the tree holds and missing for each
// section that it refers to but does not hold. Parents are visited before their
// children. The index is the position of a group among the groups, or of an account
// section among the account sections of all groups, and else 0.
func (s Sections) walk(visit func(h Hash, data []byte, level, index int) error, missing func(Hash) error) error {
	load := func(h Hash, level, index int) ([]byte, error) {
		data, ok := s.Objects[h]
		if !ok {
			return nil, missing(h)
		}
		return data, visit(h, data, level, index)
	}
	data, err := load(s.Root, levelRoot, 0)
	if data == nil || err != nil {
		return err
	}
	var root rootSection
	if err := decodeSection(s.Root, data, &root); err != nil {
		return err
	}
	if root.Format != sectionFormat || len(root.Groups) != fanout || root.Base.IsZero() {
		return &SectionError{Hash: s.Root, Reason: "is not a root section of a supported format"}
	}
	if _, err := load(root.Base, levelBase, 0); err != nil {
		return err
	}
	for g, groupHash := range root.Groups {
		if groupHash.IsZero() {
			continue
		}
		data, err := load(groupHash, levelGroup, g)
		if err != nil {
			return err
		}
		if data == nil {
			continue
		}
		var group []Hash
		if err := decodeSection(groupHash, data, &group); err != nil {
			return err
		}
		if len(group) != fanout {
			return &SectionError{Hash: groupHash, Reason: "is not a valid group section"}
		}
		for i, h := range group {
			if h.IsZero() {
				continue
			}
			if _, err := load(h, levelAccounts, g*fanout+i); err != nil {
				return err
			}
		}
	}
	return nil
}

func decodeSection(h Hash, data []byte, v any) error {
	if err := sectionDecMode.Unmarshal(data, v); err != nil {
		return &SectionError{Hash: h, Reason: "cannot be decoded: " + err.Error()}
	}
	return nil
}

// bucketOf returns the index of the account section that holds an account.
func bucketOf(account string) int {
	h := blake3.Sum256([]byte(account))
	return (int(h[0])<<8 | int(h[1])) % (fanout * fanout)
}

// packAccounts returns the section of accounts that are in order of name.
func packAccounts(accounts []*Account) accountSection {
	var s accountSection
	indexes := map[string]int{}
	indexesOf := func(names []string) []int {
		out := make([]int, 0, len(names))
		for _, n := range names {
			if _, ok := indexes[n]; !ok {
				indexes[n] = len(s.Names)
				s.Names = append(s.Names, n)
			}
			out = append(out, indexes[n])
		}
		return out
	}
	for _, a := range accounts {
		w := packedAccount{
			Name: a.Name, Models: indexesOf(a.Models), Services: indexesOf(a.Services), Rate: a.Rate,
			Concurrency: a.Concurrency, Priority: a.Priority,
			Regions: indexesOf(a.Regions), Zones: indexesOf(a.Zones), Stores: indexesOf(a.Stores),
		}
		for _, k := range a.Keys {
			raw, _ := hex.DecodeString(strings.TrimPrefix(k, keyHashPrefix))
			w.Keys = append(w.Keys, raw)
		}
		s.Accounts = append(s.Accounts, w)
	}
	return s
}

// unpackAccounts decodes an account section and adds its accounts to d.
func unpackAccounts(h Hash, data []byte, bucket int, d *Document) error {
	var s accountSection
	if err := decodeSection(h, data, &s); err != nil {
		return err
	}
	var invalidIndex error
	namesOf := func(indexes []int) []string {
		var out []string
		for _, r := range indexes {
			if r < 0 || r >= len(s.Names) {
				invalidIndex = &SectionError{Hash: h, Reason: "refers to a name index that is out of range"}
				return nil
			}
			out = append(out, s.Names[r])
		}
		return out
	}
	for _, w := range s.Accounts {
		if bucketOf(w.Name) != bucket {
			return &SectionError{Hash: h, Reason: fmt.Sprintf("contains account %q, which belongs to another section", w.Name)}
		}
		a := Account{
			Name: w.Name, Models: namesOf(w.Models), Services: namesOf(w.Services), Rate: w.Rate,
			Concurrency: w.Concurrency, Priority: w.Priority,
			Regions: namesOf(w.Regions), Zones: namesOf(w.Zones), Stores: namesOf(w.Stores),
		}
		for _, k := range w.Keys {
			a.Keys = append(a.Keys, keyHashPrefix+hex.EncodeToString(k))
		}
		d.Accounts = append(d.Accounts, a)
	}
	return invalidIndex
}
