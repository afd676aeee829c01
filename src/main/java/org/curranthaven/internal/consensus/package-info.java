/** Replicated log: elections, replication, storage, snapshots and voters. */
@NullMarked
package org.curranthaven.internal.consensus;

import org.jspecify.annotations.NullMarked;
