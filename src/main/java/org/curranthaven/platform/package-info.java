/**
 * Translates between the HTTP messages and documents of the platform and the types of this system;
 * makes no decisions. The platform's names for headers, paths and JSON members occur only here.
 */
@org.jspecify.annotations.NullMarked
package org.curranthaven.platform;
