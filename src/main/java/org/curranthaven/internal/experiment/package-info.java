/** Routing policies compared on the same arrivals, on given time. */
@NullMarked
package org.curranthaven.internal.experiment;

import org.jspecify.annotations.NullMarked;
