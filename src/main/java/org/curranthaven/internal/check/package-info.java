/** Simulations of the consensus core in simulated time, over random action sequences from seeds. */
@NullMarked
package org.curranthaven.internal.check;

import org.jspecify.annotations.NullMarked;
