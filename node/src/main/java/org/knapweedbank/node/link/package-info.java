/** Links between the processes of a deployment, which carry MessagePack messages over TCP. */
package org.knapweedbank.node.link;
