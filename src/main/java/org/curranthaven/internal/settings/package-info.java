/** Reads and validates the settings of a host. */
@NullMarked
package org.curranthaven.internal.settings;

import org.jspecify.annotations.NullMarked;
