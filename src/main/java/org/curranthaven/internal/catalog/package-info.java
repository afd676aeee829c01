/**
 * Routes, services and workspaces that operators set as one document, and the rule by which the
 * highest revision wins.
 */
@org.jspecify.annotations.NullMarked
package org.curranthaven.internal.catalog;
