/** Base file, site overlays, generations and audit records. */
package org.knapweedbank.config;
