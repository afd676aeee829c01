/** Command line. */
@NullMarked
package org.curranthaven.internal.cli;

import org.jspecify.annotations.NullMarked;
