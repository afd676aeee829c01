/** Checks of the consensus core on given time, over sequences of events drawn from a seed. */
@NullMarked
package org.curranthaven.internal.check;

import org.jspecify.annotations.NullMarked;
