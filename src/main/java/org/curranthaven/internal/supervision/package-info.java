/** Supervisor tree and clocks. */
@NullMarked
package org.curranthaven.internal.supervision;

import org.jspecify.annotations.NullMarked;
