/** Idempotency ledger: claims and stored responses of requests that must run at most once. */
@NullMarked
package org.curranthaven.internal.ledger;

import org.jspecify.annotations.NullMarked;
