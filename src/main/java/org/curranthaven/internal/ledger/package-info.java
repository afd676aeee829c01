/** Claims and outcomes of requests that may not be repeated. */
@NullMarked
package org.curranthaven.internal.ledger;

import org.jspecify.annotations.NullMarked;
