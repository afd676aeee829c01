/** Peer connections: one Netty connection for each pair of hosts, carrying protobuf messages. */
@NullMarked
package org.curranthaven.internal.transport;

import org.jspecify.annotations.NullMarked;
