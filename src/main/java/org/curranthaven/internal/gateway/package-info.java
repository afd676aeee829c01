/** Callers' edge: HTTP, streams, retries and plain services. */
@NullMarked
package org.curranthaven.internal.gateway;

import org.jspecify.annotations.NullMarked;
