/**
 * Emulates a deployment in simulated time: the dispatch core that serves places the requests of
 * emulated callers on emulated engines while faults occur. One seed always gives the same result.
 */
@NullMarked
package org.curranthaven.internal.emulator;

import org.jspecify.annotations.NullMarked;
