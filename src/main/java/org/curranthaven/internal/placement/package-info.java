/** Fenced orders to engines. */
@NullMarked
package org.curranthaven.internal.placement;

import org.jspecify.annotations.NullMarked;
