/** Interface of the key-value store that holds the state which must outlive the processes. */
package org.knapweedbank.node.store;
