/**
 * Entries, which receive callers' requests. One entry at a time is the owner, which schedules all
 * jobs; the entries elect it through the store.
 */
package org.knapweedbank.node.entry;
