/**
 * What clients can make a host hold, and who goes first when a bound is met: connections, heads and
 * bodies of requests, requests behind others, and the work of decoding. The decisions of all
 * addresses are taken by {@link org.curranthaven.internal.clients.ClientConnections}.
 */
@NullMarked
package org.curranthaven.internal.clients;

import org.jspecify.annotations.NullMarked;
