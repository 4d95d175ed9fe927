// Package examples embeds the configuration documents of two deployments.
package examples

import _ "embed"

// Agence is the configuration document of the route closure service.
//
//go:embed agence.json
var Agence []byte

// Depot is the configuration document of the tile sample depot.
//
//go:embed depot.json
var Depot []byte
