// Package examples holds the documents of the two deployments.
package examples

import _ "embed"

// The documents in JSON.
var (
	//go:embed agence.json
	Agence []byte
	//go:embed depot.json
	Depot []byte
)
