/** Clients of the platform's services, based on OkHttp. */
package org.guavagw.platform.internal.http;
