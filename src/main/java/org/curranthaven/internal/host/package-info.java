/** One host's process, wired from its parts. */
@NullMarked
package org.curranthaven.internal.host;

import org.jspecify.annotations.NullMarked;
