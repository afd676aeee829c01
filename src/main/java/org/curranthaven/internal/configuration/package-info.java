/** Classes, workspaces, models and services, their revisions and freshness. */
@NullMarked
package org.curranthaven.internal.configuration;

import org.jspecify.annotations.NullMarked;
