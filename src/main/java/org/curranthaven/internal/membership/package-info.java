/** Hosts and backend servers as leased soft state. */
@NullMarked
package org.curranthaven.internal.membership;

import org.jspecify.annotations.NullMarked;
