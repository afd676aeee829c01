/** Translates between the users' platform and this system's types. Decides nothing. */
@org.jspecify.annotations.NullMarked
package org.curranthaven.platform;
