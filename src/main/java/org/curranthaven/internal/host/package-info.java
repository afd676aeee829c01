/** The process of a host: its components and how they are connected. */
@NullMarked
package org.curranthaven.internal.host;

import org.jspecify.annotations.NullMarked;
