/** Raft consensus: leader election, log replication, storage, snapshots and voter changes. */
@NullMarked
package org.curranthaven.internal.consensus;

import org.jspecify.annotations.NullMarked;
