/** Local view of the keys with a prefix, kept up to date by a watch. For small prefixes. */
package org.knapweedbank.store.cache;
