/** Command-line client for operators. */
package org.knapweedbank.tools;
