/** Commands of the {@code curranthaven} executable. */
@NullMarked
package org.curranthaven.internal.cli;

import org.jspecify.annotations.NullMarked;
