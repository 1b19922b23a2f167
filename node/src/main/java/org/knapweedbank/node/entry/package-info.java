/**
 * The entry: answers callers, and on one entry at a time the owner of all jobs. Entries agree on
 * the owner through the store.
 */
package org.knapweedbank.node.entry;
