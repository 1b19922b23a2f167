/** The key-value store that holds what must outlive the processes, as an interface. */
package org.knapweedbank.node.store;
