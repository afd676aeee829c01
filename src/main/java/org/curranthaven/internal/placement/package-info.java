/** Replicated lease of the host that may send orders to engines, with fencing numbers. */
@NullMarked
package org.curranthaven.internal.placement;

import org.jspecify.annotations.NullMarked;
