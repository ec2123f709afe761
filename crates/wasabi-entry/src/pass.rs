//! Writing for connection wrappers that only observe reads.

/// Implements `AsyncWrite` for a connection wrapper by delegating to its field `io`.
macro_rules! pass_writes {
    ($connection:ty $(, $inner:ident)?) => {
        impl $(<$inner: ::tokio::io::AsyncWrite + Unpin>)? ::tokio::io::AsyncWrite for $connection {
            fn poll_write(
                mut self: ::std::pin::Pin<&mut Self>,
                context: &mut ::std::task::Context<'_>,
                bytes: &[u8],
            ) -> ::std::task::Poll<::std::io::Result<usize>> {
                ::std::pin::Pin::new(&mut self.io).poll_write(context, bytes)
            }

            fn poll_flush(
                mut self: ::std::pin::Pin<&mut Self>,
                context: &mut ::std::task::Context<'_>,
            ) -> ::std::task::Poll<::std::io::Result<()>> {
                ::std::pin::Pin::new(&mut self.io).poll_flush(context)
            }

            fn poll_shutdown(
                mut self: ::std::pin::Pin<&mut Self>,
                context: &mut ::std::task::Context<'_>,
            ) -> ::std::task::Poll<::std::io::Result<()>> {
                ::std::pin::Pin::new(&mut self.io).poll_shutdown(context)
            }
        }
    };
}

pub(crate) use pass_writes;
