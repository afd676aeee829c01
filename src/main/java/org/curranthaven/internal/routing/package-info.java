/** Choice of a backend server for each request, as a pure core. */
@NullMarked
package org.curranthaven.internal.routing;

import org.jspecify.annotations.NullMarked;
