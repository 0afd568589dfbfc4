// Package pick picks endpoints for requests that are not routed by shard, and
// limits retries.
package pick
