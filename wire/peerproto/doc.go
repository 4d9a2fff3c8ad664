// Package peerproto is the generated code of the protocol between instances.
//
// # Usage
//
//	pe := peerproto.NewPeerProtobufClient("http://10.0.0.7:7001", client)
//	answer, err := pe.Sync(ctx, &peerproto.SyncRequest{})
package peerproto

//go:generate go run ../generator -folder .
