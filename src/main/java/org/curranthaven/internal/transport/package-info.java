/** Connections between hosts: one Netty connection a pair, carrying protobuf messages. */
@NullMarked
package org.curranthaven.internal.transport;

import org.jspecify.annotations.NullMarked;
