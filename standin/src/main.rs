use standin::command;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    env_logger::init();
    command::execute(argh::from_env()).await
}
