/** Backend servers known to a host, as soft state that expires with a lease. */
@NullMarked
package org.curranthaven.internal.membership;

import org.jspecify.annotations.NullMarked;
