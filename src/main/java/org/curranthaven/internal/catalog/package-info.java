/**
 * Routes, services and workspaces that operators configure in one document. Of several documents,
 * the one with the highest revision wins.
 */
@org.jspecify.annotations.NullMarked
package org.curranthaven.internal.catalog;
