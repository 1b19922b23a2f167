/** Local view of a small prefix of the store, kept up to date by one watch. */
package org.knapweedbank.store.cache;
