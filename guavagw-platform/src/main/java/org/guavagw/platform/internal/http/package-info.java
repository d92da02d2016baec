/** OkHttp clients of the platform's services. */
package org.guavagw.platform.internal.http;
