/** Connections between the processes of a deployment: MessagePack messages in TCP frames. */
package org.knapweedbank.node.link;
