/** Comparison of routing policies on the same arrivals in simulated time, and trace replay. */
@NullMarked
package org.curranthaven.internal.experiment;

import org.jspecify.annotations.NullMarked;
