package main

import (
	"context"
	"os"
	"strings"

	"github.com/juju/errors"

	"sesamehill.example/sesamehill/pkg/client"
)

// linkBytes returns the number of bytes that the hosts at the admin addresses have
// sent over links between regions. It returns false if no operator's key is set.
func linkBytes(ctx context.Context, admin string) (uint64, bool, error) {
	key := strings.TrimSpace(os.Getenv(keyVariable))
	if key == "" {
		return 0, false, nil
	}
	var sum uint64
	for _, address := range splitList(admin) {
		o := client.NewOperator([]string{address}, key)
		links, err := o.Links(ctx)
		o.Close()
		if err != nil {
			return 0, false, errors.Annotatef(err, "read the links of %s", address)
		}
		for _, l := range links {
			sum += l.Bytes
		}
	}
	return sum, true, nil
}
