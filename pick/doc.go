// Package pick chooses endpoints for requests that are not routed by shard,
// and bounds retries.
package pick
