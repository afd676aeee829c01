/** Settings of a host, read and checked. */
@NullMarked
package org.curranthaven.internal.settings;

import org.jspecify.annotations.NullMarked;
