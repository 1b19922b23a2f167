/** Client of the HTTP/JSON gateway of an etcd v3 service. */
package org.knapweedbank.store.etcd;
