/** Gateway for callers: HTTP API, token streams, retries, idempotent requests, plain services. */
@NullMarked
package org.curranthaven.internal.gateway;

import org.jspecify.annotations.NullMarked;
