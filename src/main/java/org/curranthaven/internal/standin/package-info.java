/** Stand-in engine, stand-in plain service and load. */
@NullMarked
package org.curranthaven.internal.standin;

import org.jspecify.annotations.NullMarked;
