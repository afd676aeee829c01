/** Supervision of long-running components, and the source of time. */
@NullMarked
package org.curranthaven.internal.supervision;

import org.jspecify.annotations.NullMarked;
