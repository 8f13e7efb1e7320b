package claim

import (
	"fmt"
	"strings"
)

// Kind is the kind of the log's objects in the platform's object API.
const Kind = "claim"

// objectPrefix returns the common prefix of the names of a shard's objects.
func objectPrefix(shard int) string { return fmt.Sprintf("shard.%d.", shard) }

func slotName(shard int, position uint64) string {
	return fmt.Sprintf("%slog.%03d", objectPrefix(shard), position%slots)
}

func snapshotName(shard int) string { return objectPrefix(shard) + "snapshot" }

func isSnapshot(name string) bool { return strings.HasSuffix(name, ".snapshot") }
